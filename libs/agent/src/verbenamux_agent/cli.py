"""The command line of the agent."""

from verbenamux_agent.build import build_agent
from verbenamux_agent.running import run_agent
from verbenamux_agent.settings import AgentSettings
from verbenamux_runtime.logs import configure_logs
from verbenamux_runtime.program import daemon_app


def serve(settings: AgentSettings) -> None:
    """Build an agent and run it until SIGTERM."""
    configure_logs()
    run_agent(build_agent(settings))


app = daemon_app(
    'verbenamux-agent',
    'The process beside a target: sends it all its work and orders.',
    AgentSettings,
    serve,
)


def main() -> None:
    """Run the console script."""
    app()
