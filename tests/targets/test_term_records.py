from cassiaseam.targets import adapter
from cassiaseam_standin.in_process_group import run_in_group


def test_term_record_is_committed_in_the_term_of_the_primary():
    async def scenario(group):
        connection = await group.connect('a', 'app')
        for _ in range(2):
            marked = await adapter.mark_term(connection, 1, 2)
            assert marked.is_ok()
        status = await group.read_status('a')
        assert status.last.term == 1
        assert status.last.offset >= 2

    run_in_group(scenario, names=('a',))


def test_replica_refuses_a_term_record():
    async def scenario(group):
        connection = await group.connect('b', 'app')
        assert (await adapter.mark_term(connection, 1, 2)).is_err()

    run_in_group(scenario, names=('a', 'b'))
