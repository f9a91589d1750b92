"""Start bergamotgap from the folder that the build made."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

from bergamotgap.cli.main import main

main()
