#!/usr/bin/env python3
"""Reports why answers of a simulated day were late or missing.

usage: lost_worth.py LOG [--objective MS] [--pause MS] [--window S] [--by FIELD]

LOG holds the instances' log lines, each as "TIME INSTANCE {json}". Each
`finished` or `refused` line of a request is counted under its cause. The table
has a row per window of the day that lists the causes by frequency.
Requests that reached no instance (no connection) are not in the logs.

--by FIELD adds a table with a row per value of FIELD (rank, customer, route,
instance, or size: tenths by tokens). Its columns add up to the requests seen:
on time, late, refused and failed, by the last line of each request.
"""
import argparse
import collections
import json
import re

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) (\{.*\})$")


def cause_of(entry, attempts, options):
    """Returns why the answer was late or missing, or None if it was on time."""
    if entry["event"] == "refused":
        return "refused: " + entry["why"]
    outcome = entry["outcome"]
    if outcome == "refused":
        return None  # its `refused` line states the reason
    if outcome != "answered":
        return outcome + ": " + (attempts[-1] if attempts else "untried elsewhere")
    if entry.get("first_event_ms", 0) > options.objective:
        return "late first event" + (": " + attempts[0] if attempts else "")
    if entry.get("longest_pause_ms", 0) > options.pause:
        return "long pause" + (": " + attempts[-1] if attempts else "")
    return None


GROUPS = ("rank", "customer", "route", "instance", "size")
COLUMNS = ("on time", "late", "refused", "failed")


def column_of(entry, cause):
    """Returns the column of the table by which a request is counted."""
    if entry["event"] == "refused" or entry["outcome"] == "refused":
        return "refused"
    if entry["outcome"] != "answered":
        return "failed"
    return "late" if cause else "on time"


def size_groups(ends):
    """Returns the tenth of each request by its tokens, 1 for the smallest."""
    sized = sorted(
        (end["tokens"], request) for request, end in ends.items() if "tokens" in end
    )
    return {
        request: 1 + 10 * index // len(sized) for index, (_, request) in enumerate(sized)
    }


def print_groups(ends, field):
    sizes = size_groups(ends) if field == "size" else {}
    rows = collections.defaultdict(collections.Counter)
    for request, end in ends.items():
        value = sizes.get(request) if field == "size" else end.get(field)
        rows["not stated" if value is None else value][end["column"]] += 1
    print(f"{field:>24} {'seen':>7}" + "".join(f"{name:>9}" for name in COLUMNS))
    total = collections.Counter()
    for value in sorted(rows, key=str):
        print_row(value, rows[value])
        total.update(rows[value])
    print_row("all", total)


def print_row(value, counts):
    cells = "".join(f"{counts[name]:9d}" for name in COLUMNS)
    print(f"{value!s:>24} {sum(counts.values()):7d}{cells}")


def read(path):
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if not match:
                continue
            try:
                yield float(match[1]), match[2], json.loads(match[3])
            except json.JSONDecodeError:
                continue  # truncated when the day ended


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log")
    parser.add_argument("--objective", type=float, default=500)
    parser.add_argument("--pause", type=float, default=200)
    parser.add_argument("--window", type=float, default=2)
    parser.add_argument("--ids", help="print the requests of this cause")
    parser.add_argument("--by", choices=GROUPS, help="add a table by this field")
    options = parser.parse_args()
    ends = {}
    attempts = collections.defaultdict(list)
    windows = collections.defaultdict(collections.Counter)
    total = collections.Counter()
    for time_seconds, instance, entry in read(options.log):
        request = entry.get("request")
        event = entry["event"]
        if event == "try_ended":
            attempts[request].append(entry["why"])
        elif event == "repathed":
            attempts[request].append("changed path")
        if event not in ("finished", "refused"):
            continue
        cause = cause_of(entry, attempts[request], options)
        merged = {**ends.get(request, {}), **entry, "instance": instance}
        ends[request] = {**merged, "column": column_of(entry, cause)}
        if cause is None:
            continue
        if options.ids and options.ids in cause:
            print(f"{time_seconds:9.3f} {instance} {json.dumps(entry)} {attempts[request]}")
        windows[int(time_seconds // options.window)][cause] += 1
        total[cause] += 1
    for number in sorted(windows):
        row = ", ".join(f"{n} {cause}" for cause, n in windows[number].most_common())
        print(f"{number * options.window:6.0f} s  {row}")
    print("all day")
    for cause, count in total.most_common():
        print(f"{count:6d}  {cause}")
    if options.by:
        print_groups(ends, options.by)


if __name__ == "__main__":
    main()
