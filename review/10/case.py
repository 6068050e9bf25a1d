"""Three control machines, a server and an operator; the operator's machine loses a fifth of its datagrams for a while."""
import asyncio, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import fleet, standins

LOSS = 0.0 if os.environ.get("TROUBLE") == "0" else 0.2
TENANTS = '''
  <tenants by="field" field="venue" origin="peer" default-weight="1" surplus-value="0.1">
    <ceilings accounts="8192" cells="4096" origins="64" promises="64" names-per-origin="64"/>
  </tenants>'''


async def play(f, world):
    for name in f.controls:
        f.start_control(name)
    world.options = f.options("s0", TENANTS)
    await world.start()
    options = f.options("operator")
    small = f.change("small.xml", [("control/reference", "0.85")])
    for _ in range(3):                          # until a control machine leads
        code, _ = await f.publish(small, "--options", options)
        if code == 0:
            break
    else:
        standins.cannot_run("no change can be published at the beginning")
    # A change of 2,300 tenants takes about ninety parts; each command has a second.
    large = f.change("large.xml", [(f"tenants/tenant/venue-{n:06}", "2") for n in range(2300)])
    f.relay.loses = lambda sender, receiver: LOSS if "operator" in sender + receiver else 0.0
    f.note(f"the operator's machine loses {LOSS:.0%} of its datagrams")
    for _ in range(24):
        await f.publish(large, "--options", options, "--wait", "1")
    f.relay.loses = lambda sender, receiver: 0.0
    f.note("nothing is lost any more")
    await asyncio.sleep(5)
    status, said = await f.publish("status", "--options", options)
    if status != 0 or "go by it" not in said:
        standins.cannot_run("the control machines cannot be reached: " + said)
    for value in ("0.86", "0.87"):
        small = f.change(f"small-{value}.xml", [("control/reference", value)])
        code, said = await f.publish(small, "--options", options)
        if code == 0 or "committed" in said:
            return []
    await f.publish("status", "--options", options)
    alive = [name for name, process in f.processes.items() if process.poll() is None]
    return [f"no change is committed any more, though {', '.join(alive)} run and answer: {said}"]


async def main():
    f = fleet.Fleet(10, ["c0", "c1", "c2"])
    world = standins.World("s0", 8, [standins.Operation("save-answer", "repeatable", (0.17, 0.3))])
    broken = []
    try:
        broken = await play(f, world)
    finally:
        f.stop()
        world.stop()
        with open(os.path.join(HERE, "record.txt"), "w") as record:
            record.write("\n".join([f"datagrams passed on {f.relay.passed}, lost {f.relay.lost}"] + f.log
                                   + [f"RULE BROKEN: {text}" for text in broken]) + "\n")
    print("\n".join([f"datagrams passed on {f.relay.passed}, lost {f.relay.lost}"] + f.log[-6:] + [f"rule broken: {b}" for b in broken]))
    sys.stdout.flush()
    os._exit(1 if broken else 0)


standins.run_command()
asyncio.run(main())
