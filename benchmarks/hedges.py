"""Plays one load with several shares of hedges, without a network.

Run as ``python benchmarks/hedges.py``. Prints percentiles of the times from arrival to
the response in milliseconds, late and refused requests, and the extra work.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "packages/kernel/tests"))

import hedgeplays  # noqa: E402

SHARES = (0.0, 0.02, 0.05, 0.1)
LOADS = (
    hedgeplays.Load(1, 0.3),
    hedgeplays.Load(1, 0.6),
    hedgeplays.Load(1, 0.9),
    hedgeplays.Load(1, 1.3),
    hedgeplays.Load(1, 0.3, stuck_share=0.0),
)
PERCENTILES = (50, 95, 99, 99.9)


def describe(play, share, calm_busy_s):
    """Describes a play in one line.

    :param play: ``hedgeplays.Play`` that has ended.
    :param share: the operators' setting.
    :param calm_busy_s: busy time of all slots without hedges, in seconds.
    :return: text.
    """
    times = " ".join(
        f"p{item:g} {1_000 * play.find_percentile_s(item):5.0f}" for item in PERCENTILES
    )
    extra = 100 * (play.busy_s / calm_busy_s - 1)
    return (
        f"  share {share:4.2f}: {times}; late {play.count_late()}, refused"
        f" {play.refused}; {play.sends} sends, {play.hedges} hedges, {play.won} won;"
        f" work {extra:+.1f}%; withheld {dict(play.withheld)}"
    )


def main():
    """Plays all loads with all shares."""
    for load in LOADS:
        print(f"load {load.share_of_capacity}, stuck {load.stuck_share}")
        calm_busy_s = None
        for share in SHARES:
            play = hedgeplays.Play(load, share).play()
            calm_busy_s = calm_busy_s or play.busy_s
            print(describe(play, share, calm_busy_s))


if __name__ == "__main__":
    main()
