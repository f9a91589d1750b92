"""Run the command line with `python -m bergamotgap`."""

from bergamotgap.cli.main import main

main()
