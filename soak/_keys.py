"""API keys that callers send, and the workspaces that own them."""

import random

import msgspec

__all__ = ['KEY_HEADER', 'KeyChooser', 'NO_WORKSPACE', 'WORKSPACES']

KEY_HEADER = 'Authorization'
#: Workspace of a forged key, which no version contains.
NO_WORKSPACE = ''
#: Share of requests with a forged key.
FORGED_SHARE = 0.15
#: Settings of each workspace; their priorities differ.
WORKSPACES = {
    'harbour': {'api_keys': ['soak-key-of-harbour', 'second-of-harbour']},
    'quay': {'api_keys': ['soak-key-of-quay'], 'priority': 1},
}


class SentKey(msgspec.Struct, frozen=True):
    """A key and the workspace that owns it.

    Parameters
    ----------
    workspace : str
        Name of the workspace; empty for a forged key.
    key : str
        Value that is sent.
    """

    workspace: str
    key: str


class KeyChooser:
    """Chooses keys for requests.

    Parameters
    ----------
    seed : str
        Seed of a generator that only chooses keys.
    """

    def __init__(self, seed: str):
        self._rng = random.Random(f'keys {seed}')

    def choose_key(self) -> SentKey:
        """Choose a key: usually a valid one, sometimes a forged one."""
        if self._rng.random() < FORGED_SHARE:
            return SentKey(NO_WORKSPACE, f'forged-{self._rng.getrandbits(32)}')
        workspace = self._rng.choice(list(WORKSPACES))
        keys = WORKSPACES[workspace]['api_keys']
        return SentKey(workspace, self._rng.choice(keys))
