"""A program's first moments, before it has read its settings."""

import os
import signal
import subprocess
import sys

import pytest

EXIT_BAD_SETTINGS = 2


@pytest.mark.parametrize('role', ['gateway', 'keeper'])
def test_a_hangup_while_a_program_starts_does_not_end_it(role):
    """The signal's default action ended it until its handler was there.

    Lines of `importtime` tell that the program's own modules are being
    imported; without settings it ends by itself with 2.
    """
    environment = {
        name: text for name, text in os.environ.items() if 'BOOT' not in name
    }
    module = f'verbenamux_platform.run_{role}'
    command = [sys.executable, '-X', 'importtime', '-m', module]
    with subprocess.Popen(
        command,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as started:
        assert any('gevent' in line for line in started.stderr)
        started.send_signal(signal.SIGHUP)
        started.stderr.read()
        assert started.wait(timeout=20) == EXIT_BAD_SETTINGS
