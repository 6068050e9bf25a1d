"""Four servers under a light load, and the coordinator of a rollout in two stages."""
import asyncio, os, re, subprocess, sys, time
import fleet, standins

TROUBLE = os.environ.get("TROUBLE") != "0"
NAMES = ["s0", "s1", "s2", "s3"]
ROLLOUT = '''<rollout candidate="next.xml" servers="8" lease-ms="1500"><voter name="s0"/><voter name="s1"/><voter name="s2"/></rollout>'''
# Suspicion is 3 periods of 200 ms, so that a dead member is remembered for 18 s.
VIEW = 'probe-period-ms="200" probe-rtt-ms="80" suspicion-multiplier="3" gossip-period-ms="100" announce-period-ms="1000"'
CHANGE = '<meadowstream xmlns="urn:meadowstream:options:1">\n<control reference="0.88"/>\n</meadowstream>\n'
PLAN = '''<plan xmlns="urn:meadowstream:options:1" name="reference-0.88" candidate="next.xml" interval-ms="250" settled-ms="1000"
  patience-ms="{patience}" throttled="0.5" latency="10" errored="0.5" late="0.5">
  <stage servers="1" bake-ms="{bake}"/>
  <stage share="1" bake-ms="2000"/>
</plan>
'''


def put(path, text):
    with open(path, "w") as file:
        file.write(text)
    return path


async def until(condition, seconds):
    end = time.time() + seconds
    while time.time() < end:
        if condition():
            return True
        await asyncio.sleep(0.1)
    return False


class Play:
    """A fleet whose first stage has been changed, and what is seen of it afterwards."""

    def __init__(self, folder, seed):
        self.record, self.jobs = os.path.join(folder, "record.txt"), []
        self.fleet = fleet.Fleet(seed, NAMES, ROLLOUT, VIEW)
        operation = standins.Operation("save-answer", "repeatable", (0.03, 0.06))
        self.worlds = [standins.World(name, 10 * seed + i, [operation]) for i, name in enumerate(NAMES)]

    def lines(self):
        with open(self.said, errors="replace") as said:
            return said.read()

    async def begin(self, patience, bake):
        """Starts all, and waits until the first stage bakes. Times in milliseconds."""
        for name, world in zip(NAMES, self.worlds):
            world.options = self.fleet.options(name)
            put(os.path.join(os.path.dirname(world.options), "next.xml"), CHANGE)
        options = self.fleet.options("coordinator")
        folder = os.path.dirname(options)
        put(os.path.join(folder, "next.xml"), CHANGE)
        self.plan = put(os.path.join(folder, "plan.xml"), PLAN.format(patience=patience, bake=bake))
        await asyncio.gather(*(world.start() for world in self.worlds))
        end = time.time() + 110
        self.jobs = [asyncio.ensure_future(standins.Traffic(world).run(30, lambda: time.time() > end))
                     for world in self.worlds]
        self.said = os.path.join(self.fleet.folder, "coordinator.log")
        with open(self.said, "wb") as log:
            self.coordinator = self.fleet.processes["coordinator"] = subprocess.Popen(
                [fleet.PROGRAM, "rollout", self.plan, "--options", options], stdout=log, stderr=log)
        if not await until(lambda: "all go by it" in self.lines(), 40):
            standins.cannot_run("the first stage does not begin: " + self.lines()[-500:])
        self.first = re.search(r"1 of 4 servers: (\w+)", self.lines()).group(1)
        self.world = self.worlds[NAMES.index(self.first)]
        self.candidate = re.search(r"settings ([0-9a-f]{16})", self.operator("status")).group(1)
        self.fleet.note(f"{self.first} goes by the change {self.candidate}")

    def operator(self, word):
        command = [fleet.PROGRAM, "rollout", word, self.plan]
        return subprocess.run(command, capture_output=True, text=True).stdout

    async def ended(self, seconds):
        if not await until(lambda: self.coordinator.poll() is not None, seconds):
            standins.cannot_run("the rollout does not end: " + self.lines()[-500:])

    def settings(self):
        """The settings by which each member goes, as the newest view in the log of a server that lives has it."""
        runs = {}
        for world in self.worlds:
            with open(os.path.join(world.folder, "log"), errors="replace") as log:
                views = re.findall(r"runs=(.*?) counts=", log.read().replace("\\", ""))
            for name in NAMES:
                found = re.search(r'"%s":[^}\]]*?([0-9a-f]{16})' % name, views[-1]) if views else None
                if found and world.process.poll() is None:
                    runs.setdefault(name, found.group(1))
        return runs

    def marks(self):
        """What each server's mark on disk says."""
        marks = {}
        for name, world in zip(NAMES, self.worlds):
            path = world.options + ".adopted"
            marks[name] = open(path).read().strip() if os.path.exists(path) else None
        return marks

    def main(self, play):
        """Plays the case, writes its record, and exits as the issue asks."""
        standins.run_command()
        asyncio.run(self.run(play))

    async def run(self, play):
        broken = []
        try:
            broken = await play(self)
        finally:
            for job in self.jobs:
                job.cancel()
            if hasattr(self, "said"):
                for line in self.lines().splitlines():
                    self.fleet.note("coordinator: " + line)
            self.fleet.stop()
            for world in self.worlds:
                world.stop()
            counts = [f"{world.name}: {len(world.requests)} requests, {dict(world.counts)}" for world in self.worlds]
            lines = counts + self.fleet.log + [f"RULE BROKEN: {text}" for text in broken]
            put(self.record, "\n".join(lines) + "\n")
        print("\n".join(self.fleet.log + [f"rule broken: {text}" for text in broken]))
        sys.stdout.flush()
        os._exit(1 if broken else 0)
