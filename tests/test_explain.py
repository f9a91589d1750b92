"""The story of a job from logs whose clocks differ."""

from pathlib import Path

from typer.testing import CliRunner

from bergamotgap.adapters.job_story import COMMON_EVENTS, POOL_EVENTS, tell_story
from bergamotgap.adapters.log_lines import SHARED_EVENTS, align_clocks, read_lines
from bergamotgap.cli.main import app
from tools.events import list_events, render_page

JOB = "2a942efda8dd5970"


def line(second: float, node: str, event: str, **fields: object) -> str:
    words = "".join(f' {name}="{value}"' for name, value in fields.items())
    return (
        f"time=2026-03-10T13:10:{second:09.6f}Z level=info "
        f'event="{event}"{words} node={node}'
    )


def claim(second: float, node: str, token: int) -> str:
    return line(second, node, "owner", pool="previews", member="m", token=token)


# Node b's clock is 3 s ahead until it jumps to 1 s behind.
LINES = [
    claim(10.0, "a", 1),
    claim(13.001, "b", 1),
    line(10.5, "a", "refused", job=JOB, pool="previews", reason="log_lost"),
    claim(12.0, "a", 2),
    claim(15.0, "b", 2),
    line(15.2, "b", "accepted", job=JOB, pool="previews"),
    line(15.3, "b", "job waits", job=JOB, pool="previews", reason="no_room"),
    claim(16.0, "a", 3),
    claim(15.0, "b", 3),
    line(15.5, "b", "job placed", job=JOB, pool="previews", tasks=2),
    line(15.7, "b", "run lost", task=f"{JOB}.0.0.1", worker="w1", reason="lease_ended"),
    line(17.0, "a", "accepted", job="other", pool="previews"),
    line(16.5, "b", "ended", job=JOB, pool="previews", phase="completed", age_ms=9),
    "a line that is no event",
    'time=2026-03-10T13:10:10Z event="cut sho',
]


def test_lines_of_clocks_that_differ_stand_in_true_order() -> None:
    """Guards against a story told in the order of wrong clocks."""
    story = tell_story(JOB, align_clocks(read_lines(LINES)))
    assert story is not None
    told = [one.event for one in story.lines if one.event != "owner"]
    assert told == [
        "refused",
        "accepted",
        "job waits",
        "job placed",
        "run lost",
        "ended",
    ]


def test_the_cause_names_what_delayed_the_job() -> None:
    """Guards against a cause that leaves out a loss, or counts another job's."""
    story = tell_story(JOB, align_clocks(read_lines(LINES)))
    assert story is not None
    assert story.cause == (
        "completed after 9 ms; waited 4200 ms for no_room; "
        "1 x run lost on w1 (lease_ended)"
    )


def test_a_refused_job_names_its_reason() -> None:
    """Guards against a refusal without a cause."""
    story = tell_story(JOB, align_clocks(read_lines(LINES[:3])))
    assert story is not None
    assert story.cause == "not accepted: log_lost (refused, a)"


def test_the_command_reads_files_and_knows_when_nothing_is_there(
    tmp_path: Path,
) -> None:
    """Guards against a missing job or file that looks like a story."""
    log = tmp_path / "a.log"
    log.write_text("\n".join(LINES))
    told = CliRunner().invoke(app, ["explain", JOB, str(log)])
    assert told.exit_code == 0
    assert told.stdout.splitlines()[-1].startswith("cause: completed")
    piped = CliRunner().invoke(app, ["explain", JOB], input="\n".join(LINES))
    assert piped.stdout == told.stdout
    assert CliRunner().invoke(app, ["explain", "absent", str(log)]).exit_code == 1
    assert CliRunner().invoke(app, ["explain", JOB, "absent.log"]).exit_code == 2


def test_the_page_of_events_is_current() -> None:
    """Guards against a page that names an event or a field that has changed."""
    page = Path(__file__).resolve().parent.parent / "docs" / "events.md"
    assert page.read_text() == render_page()


def test_the_story_reads_events_that_nodes_log() -> None:
    """Guards against a story that looks for an event that has another name."""
    names = {event.name for event in list_events()}
    told = {one.split('"')[1] for one in LINES if 'event="' in one and JOB in one}
    assert told | POOL_EVENTS | COMMON_EVENTS | set(SHARED_EVENTS) <= names
