"""Contract test of the platform client and the stand-in platform."""

import asyncio
import random

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.errors import ErrorKind
from cassiaseam.objectstore.breaker import BackoffSettings
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.http import HttpCall
from cassiaseam.objectstore.model import VmDocument
from cassiaseam_standin.group_launcher import start_platform

VM = VmDocument(name='vm-1', place='gyor-a', host='127.0.0.1', peer_port=7000)


def test_client_and_standin_agree_on_every_call_and_fault():
    async def run():
        process = await start_platform()
        reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
        url = f'http://127.0.0.1:{process.port}'
        backoff = BackoffSettings(0.01, 0.05, failures_to_open=50)
        client = PlatformClient(url, reactor, random.Random(1), backoff, timeout_s=5)

        async def set_faults(**faults):
            await client.caller.run(HttpCall('PUT', '/faults', faults))

        try:
            assert (await client.read_object('config/1')).unwrap() is None
            first = (await client.write_object('config/1', {'a': 1}, 0)).unwrap()
            conflict = await client.write_object('config/1', {'a': 2}, 0)
            assert conflict.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
            await set_faults(lose_next_write_answers=1)
            second = (await client.write_object('config/1', {'a': 3}, first)).unwrap()
            assert second > first
            stored = (await client.read_object('config/1')).unwrap()
            assert (stored.version, stored.value) == (second, {'a': 3})
            assert client.counters['read_backs'] == 1

            watched = asyncio.create_task(client.watch_objects('config/', second, 5))
            await client.write_object('config/2', {'b': 1}, 0)
            batch = (await watched).unwrap()
            assert [found.key for found in batch] == ['config/2']
            listed = (await client.list_objects('config/')).unwrap()
            assert (listed.revision, len(list(listed))) == (batch.revision, 2)

            assert (await client.register_vm(VM)).is_ok()
            assert (await client.list_vms()).unwrap() == (VM,)
            await set_faults(down=True)
            refused = await client.read_object('config/1')
            assert refused.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE
            await set_faults(down=False)
            assert (await client.read_object('config/1')).is_ok()
        finally:
            await client.close()
            process.kill()

    asyncio.run(run())
