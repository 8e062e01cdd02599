"""Keys that callers of a soak send, and who holds them."""

import random

import msgspec

__all__ = ['KeyRing', 'NOBODY', 'SCHEME_FIELD', 'WORKSPACES']

SCHEME_FIELD = 'Authorization'
#: Who sends a key that no version ever held.
NOBODY = ''
#: Share of requests with such a key.
FORGED_SHARE = 0.15
#: Fields of each workspace; priorities differ.
WORKSPACES = {
    'harbour': {'api_keys': ['soak-key-of-harbour', 'second-of-harbour']},
    'quay': {'api_keys': ['soak-key-of-quay'], 'priority': 1},
}


class SentKey(msgspec.Struct, frozen=True):
    """A key, and the workspace that holds it.

    Parameters
    ----------
    workspace : str
        Empty for nobody.
    key : str
        As it is sent.
    """

    workspace: str
    key: str


class KeyRing:
    """Chooses keys for requests.

    Parameters
    ----------
    seed : str
        Of the choices, drawn by themselves.
    """

    def __init__(self, seed: str):
        self._rng = random.Random(f'keys {seed}')

    def choose(self) -> SentKey:
        """Choose a key, most often one that is held."""
        if self._rng.random() < FORGED_SHARE:
            return SentKey(NOBODY, f'forged-{self._rng.getrandbits(32)}')
        workspace = self._rng.choice(list(WORKSPACES))
        keys = WORKSPACES[workspace]['api_keys']
        return SentKey(workspace, self._rng.choice(keys))
