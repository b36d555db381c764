"""The README's example runs as printed."""

from pathlib import Path


def test_the_example_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    namespace: dict[str, object] = {}
    exec(compile(code, "README.md", "exec"), namespace)
    assert namespace["sent"] == ["10.0.0.1:5000"]
