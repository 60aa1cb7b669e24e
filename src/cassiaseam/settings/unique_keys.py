"""YAML loader that rejects duplicate keys."""

from typing import Any

import yaml


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys; PyYAML would silently keep the last one."""


def _construct_unique_mapping(loader: UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen: set[str] = set()
    for key_node, _ in node.value:
        if str(key_node.value) in seen:
            problem = f'key {key_node.value!r} occurs twice'
            raise yaml.constructor.ConstructorError(None, None, problem, key_node.start_mark)
        seen.add(str(key_node.value))
    return loader.construct_mapping(node, deep=True)


UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG,
    _construct_unique_mapping,
)
