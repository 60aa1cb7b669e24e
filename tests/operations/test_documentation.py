import re
from pathlib import Path

import pytest

from cassiaseam.cli.error_table import MEANINGS, render_error_table
from cassiaseam.cli.exit_codes import ExitCode
from cassiaseam.cli.main import build_application
from cassiaseam.errors import ErrorKind

PAGES = Path(__file__).resolve().parents[2] / 'docs' / 'operations'


def test_table_of_error_kinds_is_complete_and_up_to_date():
    assert set(MEANINGS) == set(ErrorKind)
    assert render_error_table() in (PAGES / 'error-kinds.md').read_text()


def test_every_command_and_exit_code_is_documented():
    page = (PAGES / 'command-line.md').read_text()
    for name, command in build_application().all().items():
        if name not in {'help', 'list'}:
            assert f'`cassiaseam {name}' in page
            for option in command.definition.options:
                assert f'--{option.name}' in page, (name, option.name)
    for code in ExitCode:
        assert f'| {int(code)} | `{code.name}` |' in page


@pytest.mark.parametrize('page', sorted(PAGES.glob('*.md')), ids=lambda page: page.name)
def test_links_lead_to_pages_and_commands_exist(page):
    text = page.read_text()
    for target in re.findall(r'\]\(([^)]+)\)', text):
        assert (PAGES / target).exists()
    commands = build_application().all()
    for words in re.findall(r'cassiaseam ((?:plan )?[a-z][a-z-]+)', text):
        assert words in commands, words


def list_page_commands():
    """Return every command in a code block or inline code of the pages."""
    shown = []
    for page in sorted(PAGES.glob('*.md')):
        blocks = re.findall(r'^ {4,}(cassiaseam .*)$|`(cassiaseam [^`]+)`', page.read_text(), re.M)
        shown.extend((page.name, ' '.join((block or inline).split())) for block, inline in blocks)
    return shown


@pytest.mark.parametrize(('page', 'line'), list_page_commands())
def test_commands_of_the_pages_have_the_options_that_they_show(page, line):
    commands = build_application().all()
    words = line.split()[1:]
    name = ' '.join(words[:2]) if words[0] == 'plan' else words[0]
    assert name in commands
    known = {option.name for option in commands[name].definition.options}
    assert set(re.findall(r'--([a-z-]+)', line)) <= known
