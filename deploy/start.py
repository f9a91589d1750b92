"""Start a node from the folder that the build made.

It does without the command line, whose libraries take a sixth of a node's memory.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

from bergamotgap.platform.start import run_process

run_process()
