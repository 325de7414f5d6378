"""The deploy file and its template, filled in as the users' platform does it."""

import json
import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/oleandertide/local.yaml"
SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([^{}#^/]+)\}\}")


class MissingField(Exception):
    """A placeholder names a field that the platform does not have."""


def find(name, scopes, is_strict):
    """The value of a field in the innermost scope that has it, or nothing."""
    if name in (".", "@", ","):
        return scopes[-1][name]
    for scope in reversed(scopes):
        value = scope["."]
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        if value is not None:
            return value
    if is_strict:
        raise MissingField(name)
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(to_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes, is_strict=False):
    """Fills in a template; `scopes` begins with the fields of the settings.

    A strict platform raises MissingField where another one returns nothing.
    """

    def expand(section):
        kind, name, body = section.groups()
        value = find(name, scopes, is_strict)
        if kind == "^":
            return render(body, scopes, is_strict) if not value else ""
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return render(body, scopes, is_strict)
        text = ""
        for number, (key, entry) in enumerate(entries, 1):
            comma = "," if number < len(entries) else ""
            scope = {".": entry, "@": key, ",": comma}
            text += render(body, [*scopes, scope], is_strict)
        return text

    def fill(placeholder):
        name, _, form = placeholder[1].partition("|")
        value = find(name, scopes, is_strict)
        return json.dumps(value) if form == "json" else to_text(value)

    return PLACEHOLDER.sub(fill, SECTION.sub(expand, template))


class Role:
    """The role beside backend servers."""

    def __init__(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        self.run = role["run"]
        self.env = role.get("env", {})
        self.template = (ROOT / role["template"]).read_text()

    def settings(self, fields, is_strict=False):
        return render(self.template, [{".": fields}], is_strict)

    def environment(self, fields):
        return {
            name: render(text, [{".": fields}]) for name, text in self.env.items()
        }

    def command(self, program, settings_path, fields):
        """The words of `run`, with the program and the settings of a test."""
        _, *words = self.run.replace(SETTINGS_PATH, str(settings_path)).split(" ")
        return [program, *(render(word, [{".": fields}]) for word in words)]
