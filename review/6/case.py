"""Six servers whose operations must not run twice; the link to the interpreter is reset about once a second."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import standins

# The work of cardiff-quiz's save-answer, 170 to 300 ms, without calls.
operations = [standins.Operation("save-answer", "by_key", (0.17, 0.3)), standins.Operation("book", "once", (0.17, 0.3))]
worlds = [standins.World(f"n{i}", 60 + i, operations, peers=6) for i in range(1, 7)]
standins.main(HERE, worlds, 95, 20, standins.lose_links)
