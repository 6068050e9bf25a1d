"""The first server that a rollout has changed dies for 24 s; the rollout is rolled back meanwhile."""
import asyncio, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import rollout, standins


async def play(p):
    await p.begin(patience=8000, bake=60000)
    await asyncio.sleep(1)
    if rollout.TROUBLE:
        p.fleet.note(f"{p.first} is killed")
        p.world.kill()
        await asyncio.sleep(24)
        p.fleet.note(f"{p.first} is started again")
        await p.world.spawn()
    else:
        await asyncio.sleep(10)
        p.fleet.note("the operator aborts the rollout")
        p.operator("abort")
    await p.ended(30)
    await asyncio.sleep(8)
    runs, marks = p.settings(), p.marks()
    p.fleet.note(f"settings by the newest view: {runs}; marks: {marks}")
    last = [line.strip() for line in p.lines().splitlines() if "rolled back" in line]
    if not last:
        standins.cannot_run("the rollout was not rolled back: " + p.lines()[-500:])
    named = any("NOT CONFIRMED" in line and p.first in line for line in last)
    if runs.get(p.first) == p.candidate and marks[p.first] == p.candidate and not named:
        return [f"{p.first} goes by the change {p.candidate}, and the rollout has ended with {last[-1]!r}"]
    return []


rollout.Play(HERE, 9).main(play)
