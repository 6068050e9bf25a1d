#!/usr/bin/env python3
"""Makes two deployments of other customers out of the operators' cardiff-quiz, to play what is fitted to it.

    deploy/sites/make.py KIT        # KIT is the folder that holds `sites/`

Nothing of the kit is kept in the repository: what this writes into `made/` beside it is git-ignored. Each
variant is a list of changes, `[SECTION, KEY, OLD, NEW]`; the section is counted from 0 where it stands more than
once (`class.1`), OLD is what the kit says today, and a change that no longer fits is an error: the kit has moved on.
"""
import pathlib
import re
import shutil
import sys

SOURCE = "cardiff-quiz"
BESIDE = ["wire.json", "real.json", "unlock.txt", "design.json"]

# Fewer and shorter: a tokened write with a window hardly longer than its client timeout, three zones renamed,
# connections that rest long, little memory, a small share of calls.
TICKETS = [
    ["day", "length_s", "[45, 55]", "[38, 50]"],
    ["load", "trouble", "[0.52, 0.66]", "[0.58, 0.74]"],
    ["load", "shape", '["steady", "wave"]', '["bursty", "ramp"]'],
    ["net", "zones", '["cardiff", "newport", "bridgend"]', '["mumbles", "barry"]'],
    ["discovery", "notice_s", "[1.8, 4.4]", "[1.2, 5.6]"],
    ["rules", "drain_grace_ms", "2500", "1500"],
    ["rules", "fall_multiple", "8", "5"],
    ["tier.0", "name", '"round-front"', '"turnstile"'],
    ["tier.kind.0", "cores", "6", "2"],
    ["tier.kind.1", "cores", "6", "4"],
    ["tier.conn.0", "idle_s", "15", "40"],
    ["tier.1", "name", '"question-bank"', '"seat-plan"'],
    ["class.0", "name", '"fetch-question"', '"seat-view"'],
    ["class.0", "share", "0.7", "0.55"],
    ["class.0", "work_ms", "[250, 408]", "[120, 190]"],
    ["class.0", "aim_ms", "2000", "900"],
    ["class.0", "deadline_ms", "5000", "2200"],
    ["class.1", "name", '"save-answer"', '"seat-book"'],
    ["class.1", "share", "0.3", "0.45"],
    ["class.1", "work_ms", "[170, 295]", "[140, 260]"],
    ["class.1", "aim_ms", "1400", "1100"],
    ["class.1", "deadline_ms", "3400", "2600"],
    ["class.1", "worth", "2", "6"],
    ["class.1", "effect", '"safe"', '"keyed"\nwindow_ms = 3000'],
    ["class.1", "write", "false", "true"],
    ["fam", "memory_runs", "[9.1, 19]", "[6.5, 11]"],
    ["fam", "hold_kb", "[12, 63]", "[6, 30]"],
]

# Slow and dear: a write that may never take effect twice, long client timeouts, calls made by both operations,
# one called tier smaller than the fronts.
PERMITS = [
    ["load", "quiet", "[0.25, 0.35]", "[0.3, 0.45]"],
    ["load", "trouble", "[0.52, 0.66]", "[0.5, 0.7]"],
    ["net", "zones", '["cardiff", "newport", "bridgend"]', '["west", "east", "north", "isle"]'],
    ["rules", "drain_grace_ms", "2500", "4000"],
    ["tier.0", "name", '"round-front"', '"desk"'],
    ["tier.conn.0", "idle_s", "15", "6"],
    ["tier.1", "name", '"question-bank"', '"land-register"'],
    ["tier.1", "size", "[0.71, 1.1]", "[0.6, 0.9]"],
    ["class.0", "name", '"fetch-question"', '"permit-read"'],
    ["class.0", "share", "0.7", "0.62"],
    ["class.0", "work_ms", "[250, 408]", "[300, 520]"],
    ["class.0", "aim_ms", "2000", "3800"],
    ["class.0", "deadline_ms", "5000", "9000"],
    ["class.0", "worth", "1", "1.5"],
    ["class.1", "name", '"save-answer"', '"permit-grant"'],
    ["class.1", "share", "0.3", "0.38"],
    ["class.1", "work_ms", "[170, 295]", "[260, 420]"],
    ["class.1", "aim_ms", "1400", "2500"],
    ["class.1", "deadline_ms", "3400", "7000"],
    ["class.1", "worth", "2", "3"],
    ["class.1", "effect", '"safe"', '"unsafe"\nwindow_ms = 2000'],
    ["class.1", "write", "false", "true"],
    ["fam.class.1", "calls", "0", "1"],
    ["fam", "run_factor", "16", "9"],
]

VARIANTS = {"pier-tickets": TICKETS, "harbour-permits": PERMITS}


def vary(text, name, changes):
    """The text of a site with its changes made; each has to fit exactly once."""
    counts, section, lines = {}, "", []
    left = {(where, key): (old, new) for where, key, old, new in changes}
    for line in text.splitlines():
        if head := re.fullmatch(r"(\[+)([a-z.]+)\]+", line.strip()):
            # Tables that stand once for each element of a list are counted like those of a list.
            base, number = head[2], counts.get(head[2], 0)
            counts[base] = number + 1
            section = f"{base}.{number}" if len(head[1]) == 2 or base.startswith("tier.") else base
        elif pair := re.fullmatch(r"([a-z_]+) = (.*)", line):
            if change := left.pop((section, pair[1]), None):
                if change[0] != pair[2]:
                    sys.exit(f"{name}: {section} {pair[1]}: the kit says {pair[2]}, not {change[0]}")
                line = f"{pair[1]} = {change[1]}"
            elif section == "" and pair[1] == "name":
                line = f'name = "{name}"'
            elif section == "" and pair[1] == "stock":
                continue  # other days, seeded by the name
        lines.append(line)
    if left:
        sys.exit(f"{name}: not in the kit: {sorted(left)}")
    return "\n".join(lines) + "\n"


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    sites = pathlib.Path(sys.argv[1]) / "sites"
    made = pathlib.Path(__file__).resolve().parent / "made"
    made.mkdir(exist_ok=True)
    for beside in BESIDE:
        shutil.copyfile(sites / beside, made / beside)
    text = (sites / f"{SOURCE}.toml").read_text()
    for name, changes in VARIANTS.items():
        (made / f"{name}.toml").write_text(vary(text, name, changes))
        print(f"deploy/sites/made/{name}.toml")


if __name__ == "__main__":
    main()
