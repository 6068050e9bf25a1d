"""Four servers whose runs make two calls each; the link to the interpreter is reset about once a second."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import standins

# The work of cardiff-quiz's fetch-question, 250 to 410 ms, with two calls.
operations = [standins.Operation("fetch-question", "repeatable", (0.25, 0.41), calls=2, target=2.0, give_up=5.0)]
worlds = [standins.World(f"n{i}", 70 + i, operations, below="tier") for i in (1, 2, 3, 4)]
standins.main(HERE, worlds, 95, 14, standins.lose_links)
