"""Writes the table of docs/MEASUREMENTS.md from experiments' results."""

import os

BEGIN = "<!-- measure.sh all writes from here -->"
END = "<!-- to here -->"


def _cell(value):
    return "" if value is None else str(value)


def _verdict(figure):
    if "target" not in figure:
        return ""
    sign = "≤" if figure["better"] == "lower" else "≥"
    return f"{sign} {figure['target']}: " + (
        "met" if figure["met"] else "**missed**")


def lines_of(rows):
    """The table's lines."""
    lines = [f"Seed {rows[0]['seed']}, {rows[0]['cores']} cores.", "",
             "| experiment | figure | value | unit | target | baselines |",
             "|---|---|---|---|---|---|"]
    for row in rows:
        for figure in row["figures"]:
            baselines = "; ".join(
                f"{name}: {_cell(values[figure['name']])}"
                for name, values in row["baselines"].items()
                if figure["name"] in values)
            lines.append(
                f"| `{row['experiment']}` | {figure['name']} | "
                f"{_cell(figure['value'])} | {figure['unit']} | "
                f"{_verdict(figure)} | {baselines} |")
        for note in row.get("notes", []):
            lines.append(f"| `{row['experiment']}` | note | | | {note} | |")
    return lines


def write(rows, path):
    """Replaces what stands between the two marks, or appends it."""
    if not rows:
        return
    text = ""
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            text = file.read()
    if BEGIN not in text:
        text += f"\n{BEGIN}\n{END}\n"
    head, rest = text.split(BEGIN, 1)
    tail = rest.split(END, 1)[1]
    block = "\n".join(lines_of(rows))
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"{head}{BEGIN}\n\n{block}\n\n{END}{tail}")
