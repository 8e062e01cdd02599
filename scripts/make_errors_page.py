"""Generates docs/errors.md from the error codes."""

import pathlib

from sedgering import exceptions

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'errors.md'
HEADER = """# Codes

Every error that a program prints, and every answer of a proxy's own,
carries one of these numbers. A number is never used again for another
meaning. Written by `scripts/make_errors_page.py`; a test compares this
page with the code.

Programs end with status 2 when settings or arguments are refused, with 1
on any other error. Of codes 5xxx, "not run" means that no target worked
on the request; "outcome unknown" means that one may have.

| code | meaning |
|---|---|
"""


def main() -> None:
    """Write the header and one row per code."""
    rows = [f'| SDG-{int(code)} | {code.text} |\n' for code in exceptions.Code]
    PAGE.write_text(HEADER + ''.join(rows))


if __name__ == '__main__':
    main()
