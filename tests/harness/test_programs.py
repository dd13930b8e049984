"""The programs' command lines: versions, schemas, checks, exit codes."""

import json
import subprocess
from pathlib import Path

import pytest

from verbenamux_harness.processes import program

pytestmark = pytest.mark.processes

DAEMONS = ('verbenamux-gateway', 'verbenamux-agent')
PROGRAMS = (
    *DAEMONS,
    'verbenamuxctl',
    'verbenamux-standin',
    'verbenamux-load',
)


def run(*words: str) -> subprocess.CompletedProcess[str]:
    command = [program(words[0]), *words[1:]]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.mark.parametrize('name', PROGRAMS)
def test_help_is_printed(name: str) -> None:
    shown = run(name, '--help')
    assert shown.returncode == 0
    if name in DAEMONS:
        assert f'Example: {name} --settings' in shown.stdout


@pytest.mark.parametrize('name', DAEMONS)
def test_schema_and_version_need_no_settings(name: str) -> None:
    schema = run(name, '--schema')
    assert json.loads(schema.stdout)['$defs']
    assert run(name, '--version').stdout.strip() == '0.1.0'


@pytest.mark.parametrize('name', DAEMONS)
def test_wrong_settings_exit_with_2_and_a_path(
    name: str,
    tmp_path: Path,
) -> None:
    path = tmp_path / 'settings.json'
    path.write_text('{"name": 5}')
    answer = run(name, '--settings', str(path), '--check-settings')
    assert answer.returncode == 2
    assert 'settings: $.name: Expected `str`, got `int`' in answer.stderr


def test_patch_schema_and_validation(tmp_path: Path) -> None:
    assert 'put_workspace' in run('verbenamuxctl', 'schema').stdout
    path = tmp_path / 'patch.json'
    path.write_text('[{"op": "remove_model", "name": "m"}]')
    assert run('verbenamuxctl', 'validate', str(path)).returncode == 0
    path.write_text('[{"op": "remove_model"}]')
    assert run('verbenamuxctl', 'validate', str(path)).returncode == 2
