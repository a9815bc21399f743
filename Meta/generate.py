"""Generates code and reference pages from the schemas in Meta/schema.

Run without arguments to write the files, with --check to fail if a committed
file differs from what the schemas give.
"""

import pathlib
import subprocess
import sys

import jinja2
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "Meta/schema"

CPP_TYPES = {
    "u8": "std::uint8_t",
    "u16": "std::uint16_t",
    "u32": "std::uint32_t",
    "u64": "std::uint64_t",
    "i64": "std::int64_t",
    "f64": "double",
    "bool": "bool",
    "string": "std::string",
    "bytes": "std::string",
}

DEFAULTS = {
    "u8": "0",
    "u16": "0",
    "u32": "0",
    "u64": "0",
    "i64": "0",
    "f64": "0",
    "bool": "false",
}


def cpp_type(name):
    """Maps a schema type such as `list<u32>` to its C++ type."""
    if name.startswith("list<"):
        return f"std::vector<{cpp_type(name[5:-1])}>"
    return CPP_TYPES.get(name, name)


def default_of(field):
    if "default" in field:
        return str(field["default"])
    return DEFAULTS.get(field["type"], "")


def constant(name):
    """`snake_case` to `kCamelCase`."""
    return "k" + camel(name)


def camel(name):
    return "".join(part.capitalize() for part in name.split("_"))


def cpp_literal(key):
    """The C++ literal of a setting's default value."""
    value = key.get("default")
    if key["type"] == "string":
        return '"%s"' % (value or "")
    if key["type"] == "list":
        return ", ".join('"%s"' % item for item in value or [])
    if key["type"] == "bool":
        return "true" if value else "false"
    return str(value if value is not None else 0)


SETTING_TYPES = {
    "string": "std::string",
    "list": "std::vector<std::string>",
    "bool": "bool",
    "u32": "std::uint32_t",
    "u64": "std::uint64_t",
    "port": "std::uint16_t",
    "milliseconds": "std::chrono::milliseconds",
    "f64": "double",
}


def setting_type(key):
    return SETTING_TYPES[key["type"]]


def load(name):
    return yaml.safe_load((SCHEMA / name).read_text(encoding="utf-8"))


def render(environment, template, **values):
    return environment.get_template(template).render(**values)


def outputs():
    """Yields each generated file's path and text before formatting."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(ROOT / "Meta/templates"),
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        undefined=jinja2.StrictUndefined,
    )
    environment.filters.update(
        cpp_type=cpp_type,
        constant=constant,
        camel=camel,
        default_of=default_of,
        cpp_literal=cpp_literal,
        setting_type=setting_type,
    )
    events = load("events.yaml")
    yield "Libraries/LibEvents/event_catalogue.h", render(
        environment, "event_catalogue.h.j2", events=events
    )
    yield "Libraries/LibEvents/event_catalogue.cc", render(
        environment, "event_catalogue.cc.j2", events=events
    )
    yield "docs/events.md", render(environment, "events.md.j2", events=events)
    for schema, header, guard in (
        ("messages.yaml", "messages.h", "LIBMESSAGES_MESSAGES_H_"),
        ("records.yaml", "records.h", "LIBMESSAGES_RECORDS_H_"),
    ):
        yield f"Libraries/LibMessages/{header}", render(
            environment, "messages.h.j2", schema=load(schema), guard=guard
        )
    settings = load("settings.yaml")
    yield "Libraries/LibSettings/settings.h", render(
        environment, "settings.h.j2", settings=settings
    )
    yield "Libraries/LibSettings/settings.cc", render(
        environment, "settings.cc.j2", settings=settings
    )
    yield "docs/settings.md", render(environment, "settings.md.j2", settings=settings)


def formatted(path, text):
    if not path.endswith((".h", ".cc")):
        return text
    return subprocess.run(
        ["clang-format", f"--assume-filename={ROOT / path}"],
        input=text,
        capture_output=True,
        text=True,
        check=True,
    ).stdout


def main():
    check = "--check" in sys.argv
    stale = []
    for path, text in outputs():
        text = formatted(path, text)
        target = ROOT / path
        if target.exists() and target.read_text(encoding="utf-8") == text:
            continue
        stale.append(path)
        if not check:
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_text(text, encoding="utf-8")
    if check and stale:
        print("generated files differ from the schemas:", *stale, sep="\n  ")
        sys.exit(1)


main()
