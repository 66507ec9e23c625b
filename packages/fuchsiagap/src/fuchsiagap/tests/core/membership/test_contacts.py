from testtools import TestCase

from fuchsiagap.core.membership.contacts import (
    MISMATCHES_TO_SYNC,
    STABLE_VIEW_MS,
    PeerContacts,
)


class TestContacts(TestCase):
    def test_views_that_differ_while_stable_are_synced_at_once(self):
        contacts = PeerContacts(last_change=0.0)
        contacts.record_contact("certs-2", same_view=False, now=STABLE_VIEW_MS + 1)
        self.assertEqual(("certs-2",), contacts.take_mismatches())
        self.assertFalse(contacts.sync_due.is_set())

    def test_views_that_differ_repeatedly_are_synced_during_changes(self):
        contacts = PeerContacts()
        for i in range(MISMATCHES_TO_SYNC):
            # Polled between contacts, as by the sync task.
            self.assertEqual((), contacts.take_mismatches())
            contacts.last_change = 900.0 * i
            contacts.record_contact("certs-2", same_view=False, now=900.0 * i + 100)
        self.assertEqual(("certs-2",), contacts.take_mismatches())
        self.assertEqual((), contacts.take_mismatches())

    def test_equal_view_resets_the_mismatch_count(self):
        contacts = PeerContacts()
        for same in (False, False, False, True, False):
            contacts.record_contact("certs-2", same_view=same, now=1.0)
        self.assertEqual((), contacts.take_mismatches())

    def test_silence_is_counted_from_the_first_query(self):
        contacts = PeerContacts()
        self.assertEqual(0.0, contacts.silence("certs-2", 5_000.0))
        self.assertEqual(700.0, contacts.silence("certs-2", 5_700.0))
        contacts.postpone(600.0)
        self.assertEqual(100.0, contacts.silence("certs-2", 5_700.0))
