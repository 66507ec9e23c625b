from testtools import TestCase

from fuchsiagap.core.workspaces.keys import DuplicateKeyError, KeyTable, key_digest
from fuchsiagap.core.workspaces.model import Workspace


class TestKeys(TestCase):
    def test_find_returns_the_workspace_of_a_key(self):
        one = Workspace("one", (key_digest(b"k1"), key_digest(b"k2")))
        two = Workspace("two", (key_digest(b"k3"),))
        table = KeyTable((one, two))
        self.assertEqual(one, table.find(key_digest(b"k2")))
        self.assertEqual(two, table.find(key_digest(b"k3")))
        self.assertIsNone(table.find(key_digest(b"k4")))
        self.assertIsNone(table.find(b""))

    def test_key_of_two_workspaces_is_rejected_without_revealing_it(self):
        both = (key_digest(b"secret"),)
        workspaces = Workspace("one", both), Workspace("two", both)
        exc = self.assertRaises(DuplicateKeyError, KeyTable, workspaces)
        self.assertIn("'one'", str(exc))
        self.assertIn("'two'", str(exc))
        self.assertNotIn("secret", str(exc))

    def test_digest_does_not_reveal_the_key(self):
        self.assertNotIn(b"secret", key_digest(b"secret"))
        self.assertNotEqual(key_digest(b"secret"), key_digest(b"secret "))
