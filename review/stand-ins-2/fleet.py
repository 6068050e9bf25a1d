"""Control machines, servers and operators' commands of one fleet, and a relay for their datagrams."""
import asyncio, os, random, shutil, signal, socket, subprocess, sys, tempfile, time
import standins

PROGRAM = os.path.join(standins.ROOT, "target", "release", "meadowstream")


def free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()


class DatagramRelay:
    """Each member has an endpoint, to which the others send. A datagram is passed on from its sender's endpoint.
    `loses(sender, receiver)` gives the share of datagrams between two members that are lost."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.members, self.names, self.endpoints = {}, {}, {}
        self.loses = lambda sender, receiver: 0.0
        self.lost = self.passed = 0

    def add(self, name):
        endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        endpoint.bind(("127.0.0.1", 0))
        endpoint.setblocking(False)
        self.endpoints[name], self.members[name] = endpoint, free_address()
        self.names[self.members[name]] = name
        asyncio.get_running_loop().add_reader(endpoint, self.receive, name)
        return self.members[name], endpoint.getsockname()

    def receive(self, to):
        while True:
            try:
                data, source = self.endpoints[to].recvfrom(65536)
            except OSError:
                return
            sender = self.names.get(source)
            if sender is None:
                continue
            if self.rng.random() < self.loses(sender, to):
                self.lost += 1
                continue
            self.passed += 1
            try:
                self.endpoints[sender].sendto(data, self.members[to])
            except OSError:
                pass


class Fleet:
    """A folder for each member with its options, and the processes."""

    def __init__(self, seed, seeds, body=None, attributes=""):
        """`seeds` are the members that the others ask first. `body` is what the options of all members hold beside
        <membership>; if it is None, the seeds are the control machines of a replicated configuration."""
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.relay, self.controls, self.attributes = DatagramRelay(seed), seeds, attributes
        replicas = "".join(f'<replica name="{c}"/>' for c in seeds)
        self.body = body or f'<replication region="west" zone="west-1" file="state">{replicas}</replication>'
        self.processes, self.log, self.began = {}, [], time.time()

    def note(self, text):
        self.log.append(f"{time.time() - self.began:9.3f} {text}")

    def options(self, name, more=""):
        """Writes the options of a member and returns their path."""
        bound, endpoint = self.relay.add(name)
        folder = os.path.join(self.folder, name)
        os.makedirs(folder)
        key = os.path.join(folder, "key")
        with open(os.open(key, os.O_WRONLY | os.O_CREAT, 0o600), "w") as file:
            file.write("a key of the review's fleet" * 2)
        seeds = "".join(f'<seed address="{standins.address(self.relay.endpoints[c].getsockname())}"/>'
                        for c in self.controls if c != name and c in self.relay.endpoints)
        path = os.path.join(folder, "options.xml")
        with open(path, "w") as file:
            file.write(f'''<meadowstream xmlns="urn:meadowstream:options:1">
  <membership bind="{standins.address(bound)}" advertise="{standins.address(endpoint)}" name="{name}" fleet="review" key-file="key" {self.attributes}>{seeds}</membership>
  {self.body}{more}
</meadowstream>''')
        return path

    def start_control(self, name):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        path = self.options(name)
        self.processes[name] = subprocess.Popen([PROGRAM, "control", "--options", path], stdout=log, stderr=log)

    def change(self, name, pairs):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            sets = "\n".join(f'<set key="{key}" value="{value}"/>' for key, value in pairs)
            file.write(f'<change xmlns="urn:meadowstream:options:1">\n{sets}\n</change>')
        return path

    async def publish(self, *words):
        """Runs an operator's command; returns its exit code and what it says."""
        began = time.time()
        process = await asyncio.create_subprocess_exec(PROGRAM, "publish", *words, stdout=subprocess.PIPE,
                                                       stderr=subprocess.STDOUT)
        said, _ = await process.communicate()
        said = " / ".join(line for line in said.decode().splitlines() if " INFO " not in line)
        shown = " ".join(os.path.basename(word) for word in words)
        self.note(f"publish {shown}: exit code {process.returncode} after {time.time() - began:.1f} s: {said[:200]}")
        return process.returncode, said

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
