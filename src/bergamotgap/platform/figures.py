"""Ranges of the figures in the platform's documents and in its workers' answers.

Figures beyond any use would exceed what a record of the log can hold.
"""

from typing import Annotated

import msgspec

_MAX_FIGURE = 10**15
Whole = Annotated[int, msgspec.Meta(ge=-_MAX_FIGURE, le=_MAX_FIGURE)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=_MAX_FIGURE)]
Figure = Annotated[float, msgspec.Meta(ge=-_MAX_FIGURE, le=_MAX_FIGURE)]
# A duration, a weight or a share, which may have a fraction.
Quantity = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
