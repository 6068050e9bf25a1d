"""The first server that a rollout has changed dies near the end of its stage and stays away."""
import asyncio, os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import rollout, standins

PATIENCE = 20.0     # seconds


async def play(p):
    await p.begin(patience=int(PATIENCE * 1000), bake=12000)
    await asyncio.sleep(8)
    killed = time.time()
    if rollout.TROUBLE:
        p.fleet.note(f"{p.first} is killed")
        p.world.kill()
    await p.ended(70)
    away = time.time() - killed
    await asyncio.sleep(1)
    others = {name: mark for name, mark in p.marks().items() if name != p.first}
    p.fleet.note(f"settings by the newest view: {p.settings()}; marks: {p.marks()}; {p.first} was away for {away:.1f} s")
    changed = [name for name, mark in others.items() if mark == p.candidate]
    if rollout.TROUBLE and away > PATIENCE and p.coordinator.returncode == 0 and changed:
        return [f"{p.first} has been gone for {away:.1f} s since the change, and the change went on to {', '.join(changed)}: "
                f"{p.lines().splitlines()[-1].strip()!r}"]
    if not rollout.TROUBLE and p.coordinator.returncode != 0:
        standins.cannot_run("the rollout does not go through without trouble: " + p.lines()[-500:])
    return []


rollout.Play(HERE, 8).main(play)
