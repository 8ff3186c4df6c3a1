#!/usr/bin/env python3
"""Says why answers of a played day were late or missing.

usage: lost_worth.py LOG [--objective MS] [--pause MS] [--window S]

LOG holds what the instances wrote, each line as "TIME INSTANCE {json}". Each
request's last `finished` or `refused` line decides its cause; the table has a
row for each window of the day and a column for each cause that occurred.
Requests that no instance saw (no connection) are not in the logs.
"""
import argparse
import collections
import json
import re

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) (\{.*\})$")


def cause_of(entry, tries, options):
    """Returns why the request lost worth, or None if it was on time."""
    if entry["event"] == "refused":
        return "refused: " + entry["why"]
    outcome = entry["outcome"]
    if outcome == "refused":
        return None  # its `refused` line tells why
    if outcome != "answered":
        return outcome + ": " + (tries[-1] if tries else "untried elsewhere")
    if entry.get("first_event_ms", 0) > options.objective:
        return "late first event" + (": " + tries[0] if tries else "")
    if entry.get("longest_pause_ms", 0) > options.pause:
        return "long pause" + (": " + tries[-1] if tries else "")
    return None


def read(path):
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            found = LINE.match(line)
            if not found:
                continue
            try:
                yield float(found[1]), found[2], json.loads(found[3])
            except json.JSONDecodeError:
                continue  # a line that was cut off at the end of the day


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log")
    parser.add_argument("--objective", type=float, default=500)
    parser.add_argument("--pause", type=float, default=200)
    parser.add_argument("--window", type=float, default=2)
    parser.add_argument("--ids", help="print the requests of this cause")
    options = parser.parse_args()
    tries = collections.defaultdict(list)
    windows = collections.defaultdict(collections.Counter)
    total = collections.Counter()
    for at, instance, entry in read(options.log):
        request = entry.get("request")
        event = entry["event"]
        if event == "try_ended":
            tries[request].append(entry["why"])
        elif event == "repathed":
            tries[request].append("changed path")
        if event not in ("finished", "refused"):
            continue
        cause = cause_of(entry, tries[request], options)
        if cause is None:
            continue
        if options.ids and options.ids in cause:
            print(f"{at:9.3f} {instance} {json.dumps(entry)} {tries[request]}")
        windows[int(at // options.window)][cause] += 1
        total[cause] += 1
    for number in sorted(windows):
        row = ", ".join(f"{n} {why}" for why, n in windows[number].most_common())
        print(f"{number * options.window:6.0f} s  {row}")
    print("all day")
    for why, count in total.most_common():
        print(f"{count:6d}  {why}")


if __name__ == "__main__":
    main()
