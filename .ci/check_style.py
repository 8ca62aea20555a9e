"""Checks what the formatter and linter cannot: imports, derives, test layout."""

import pathlib
import re
import subprocess
import sys

GENERATED = re.compile(r"_capnp\.rs$")
MAX_LINES = 600
DERIVE = re.compile(r"#\[derive\(([^)]*)\)\]", re.S)
USE = re.compile(r"^(?:pub(?:\([a-z]+\))? )?use ([^;]+);", re.M)


def group_of(path):
    head = path.split("::")[0]
    if head in ("std", "core", "alloc"):
        return 0
    if head in ("crate", "self", "super"):
        return 2
    return 1


def check_derives(text):
    for match in DERIVE.finditer(text):
        names = [name.strip() for name in match.group(1).split(",") if name.strip()]
        if names != sorted(names, key=str.lower):
            yield f"derives out of order: {', '.join(names)}"


def check_imports(text):
    last = None
    for match in USE.finditer(text):
        path = match.group(1)
        if "{" in path or "," in path:
            yield f"more than one import a line: {' '.join(path.split())}"
            continue
        if match.group(0).startswith("pub"):
            continue
        group = group_of(path)
        if last is not None:
            between = text[last[1] : match.start()]
            if between.strip():
                last = None
            elif group < last[0]:
                yield f"import group out of order: {path}"
            elif group > last[0] and "\n\n" not in between:
                yield f"import groups need a blank line between them: {path}"
            elif group == last[0] and "\n\n" in between:
                yield f"blank line inside an import group: {path}"
        last = (group, match.end())


WIRE_NAMES = re.compile(
    r"x-limpetsaddle-|limpetsaddle/(objects|ready|report|order|kv-|hold-)"
    r"|kv[-_](events|list|move|fetch|save|from|backup)|server-leaving|gap_target_ms|uncached_tokens",
    re.I,
)


def check_names(path, text):
    """The names of the users' platform stand in platform/ and nowhere else."""
    if path.parts[0] == "platform":
        return
    for match in WIRE_NAMES.finditer(text):
        yield f"name of the platform outside platform/: {match.group(0)}"


def check_layout(path, text):
    if "#[cfg(test)]" in text:
        yield "tests live in test files, under tests/"
    if text.count("\n") > MAX_LINES:
        yield f"longer than {MAX_LINES} lines"
    if path.parts[-2] == "src" and not text.startswith("//!"):
        yield "no module documentation"


def main():
    listed = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.rs"],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    failures = 0
    for name in listed:
        path = pathlib.Path(name)
        if GENERATED.search(name) or not path.exists():
            continue
        text = path.read_text()
        problems = [*check_derives(text), *check_imports(text), *check_layout(path, text), *check_names(path, text)]
        for problem in problems:
            print(f"{name}: {problem}")
        failures += len(problems)
    print(f"style: {len(listed)} files, {failures} problems")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
