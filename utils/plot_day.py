#!/usr/bin/env python3
"""Plots a simulated day as SVG: requests over time by outcome.

usage: plot_day.py REPORT.json OUT.svg "TITLE"

REPORT holds `windows` (name: seconds; n, in_aim, late, refused, failed) and
`events` (at_s, to_s, kind). Requests to which no answer was owed are left out.
"""
import json
import sys
from xml.sax.saxutils import escape

WIDTH, HEIGHT, LEFT, TOP, ROW = 900, 240, 50, 30, 12
COLORS = (("in_aim", "#4c9f70", "on time"), ("late", "#e0b040", "late"),
          ("refused", "#c86432", "refused"), ("failed", "#7a2048", "failed"))


def bars(windows, x_of, width, max_requests):
    """Yields one rectangle per window and outcome."""
    for window in windows:
        y = TOP + HEIGHT
        for key, color, _ in COLORS:
            height = HEIGHT * window[key] / max_requests
            y -= height
            yield (f'<rect x="{x_of(float(window["name"])):.1f}" y="{y:.1f}" '
                   f'width="{width:.1f}" height="{height:.1f}" fill="{color}"/>')


def marks(events, x_of, first_row):
    """Yields a labelled line per event."""
    for number, event in enumerate(events):
        y = first_row + number * ROW
        begin, end = x_of(event["at_s"]), x_of(event["to_s"])
        yield (f'<line x1="{begin:.1f}" x2="{max(end, begin + 2):.1f}" y1="{y}" '
               f'y2="{y}" stroke="#446" stroke-width="3"/>')
        yield (f'<text x="{end + 4:.1f}" y="{y + 4}" font-size="10">'
               f'{escape(event["kind"])}</text>')


def main():
    report_path, out_path, title = sys.argv[1:4]
    with open(report_path, encoding="utf-8") as file:
        report = json.load(file)
    windows, events = report["windows"], report["events"]
    window_seconds = float(windows[1]["name"]) - float(windows[0]["name"])
    end_seconds = float(windows[-1]["name"]) + window_seconds
    max_requests = max(1, max(sum(w[key] for key, _, _ in COLORS) for w in windows))

    def x_of(second):
        return LEFT + (WIDTH - LEFT - 20) * min(max(second, 0), end_seconds) / end_seconds

    first_row = TOP + HEIGHT + 40
    total_height = first_row + len(events) * ROW + 10
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 160}" '
             f'height="{total_height}" font-family="sans-serif">',
             '<rect width="100%" height="100%" fill="white"/>',
             f'<text x="{LEFT}" y="18" font-size="14">{escape(title)}</text>']
    lines += bars(windows, x_of, x_of(window_seconds) - x_of(0) - 1, max_requests)
    for second in range(0, int(end_seconds) + 1, 10):
        lines.append(f'<text x="{x_of(second):.1f}" y="{TOP + HEIGHT + 14}" '
                     f'font-size="10">{second} s</text>')
    lines.append(f'<text x="4" y="{TOP + 10}" font-size="10">{max_requests}</text>')
    for number, (_, color, name) in enumerate(COLORS):
        x = LEFT + 560 + number * 80
        lines.append(f'<rect x="{x}" y="8" width="10" height="10" fill="{color}"/>'
                     f'<text x="{x + 14}" y="17" font-size="11">{name}</text>')
    lines += marks(events, x_of, first_row)
    lines.append("</svg>")
    with open(out_path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
