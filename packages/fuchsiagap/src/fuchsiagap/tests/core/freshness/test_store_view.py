"""Epochs, cursors and versions of a store that may be restored from a backup."""

from testtools import TestCase

from fuchsiagap.core.freshness.store_view import (
    NO_EPOCH,
    Cursor,
    PositionCheck,
    StoreView,
)

SETTLE_MS = 1_500.0


def view_at(epoch=3, revision=50, version=7):
    """Return a view after a read at time 0."""
    view = StoreView(SETTLE_MS)
    view.note_read(Cursor(epoch, revision), version, 0.0)
    return view


class TestStoreView(TestCase):
    def test_watch_continues_from_the_previous_cursor(self):
        view = view_at()
        self.assertTrue(view.note_watch(Cursor(3, 60), 8, 10.0))
        self.assertEqual((Cursor(3, 60), 8), (view.cursor, view.version))
        self.assertTrue(view.note_watch(Cursor(3, 60), None, 20.0))
        self.assertEqual((Cursor(3, 60), 8), (view.cursor, view.version))
        self.assertTrue(view.can_watch(20.0))

    def test_watch_that_skips_revisions_without_a_change_proves_nothing(self):
        view = view_at()
        self.assertFalse(view.note_watch(Cursor(3, 61), None, 20.0))
        self.assertFalse(view.can_watch(20.0))
        view.note_read(Cursor(3, 61), 7, 30.0)
        self.assertTrue(view.can_watch(30.0))

    def test_interrupted_watch_is_not_resumed_from_its_cursor(self):
        view = view_at()
        view.note_interruption()
        self.assertFalse(view.can_watch(10.0))

    def test_cursor_reported_by_another_node_is_not_proven(self):
        view = view_at(revision=50)
        view.note_version(Cursor(3, 60), 8, 5_000.0)
        self.assertFalse(view.can_watch(5_000.0))
        self.assertTrue(view.note_watch(Cursor(3, 61), 9, 5_010.0))
        self.assertTrue(view.can_watch(5_010.0))

    def test_position_is_compared_with_the_cursor(self):
        view = view_at(revision=50)
        for revision, expected in (
            (49, PositionCheck.BEHIND),
            (50, PositionCheck.CURRENT),
            (51, PositionCheck.AHEAD),
        ):
            self.assertIs(expected, view.check_position(Cursor(3, revision)))

    def test_change_of_another_object_moves_the_cursor(self):
        view = view_at(revision=50)
        self.assertTrue(view.note_unchanged(Cursor(3, 53), 50))
        self.assertEqual(Cursor(3, 53), view.cursor)
        self.assertTrue(view.can_watch(10.0))

    def test_change_of_the_configuration_does_not_move_the_cursor(self):
        view = view_at(revision=50)
        self.assertFalse(view.note_unchanged(Cursor(3, 53), 52))
        self.assertEqual(Cursor(3, 50), view.cursor)

    def test_watch_answered_in_another_epoch_is_invalid(self):
        view = view_at()
        self.assertFalse(view.note_watch(Cursor(4, 70), None, 10.0))
        self.assertIsNone(view.cursor)
        view.note_read(Cursor(4, 20), 6, 20.0)
        self.assertEqual((Cursor(4, 20), 6), (view.cursor, view.version))

    def test_probe_in_another_epoch_invalidates_the_cursor(self):
        view = view_at()
        self.assertFalse(view.note_epoch(3, 10.0))
        self.assertTrue(view.note_epoch(4, 10.0))
        self.assertIsNone(view.cursor)

    def test_answer_of_an_older_epoch_causes_one_read(self):
        view = view_at(epoch=4)
        self.assertTrue(view.note_epoch(3, 10.0))
        view.note_read(Cursor(4, 55), 8, 20.0)
        self.assertEqual(Cursor(4, 55), view.cursor)

    def test_answer_without_an_epoch_belongs_to_the_known_one(self):
        view = view_at()
        self.assertFalse(view.note_epoch(NO_EPOCH, 10.0))
        self.assertTrue(view.note_watch(Cursor(NO_EPOCH, 51), 8, 10.0))
        self.assertEqual(Cursor(3, 51), view.cursor)

    def test_restore_without_epochs_is_detected_by_the_revision(self):
        view = view_at(epoch=NO_EPOCH)
        self.assertFalse(view.note_watch(Cursor(NO_EPOCH, 49), None, 10.0))
        view.note_read(Cursor(NO_EPOCH, 20), 7, 10.0)
        self.assertEqual(20, view.cursor.revision)

    def test_cursor_of_another_epoch_from_a_peer_is_ignored(self):
        view = view_at(epoch=4, revision=20)
        view.note_version(Cursor(3, 90), 9, 10.0)
        self.assertEqual(Cursor(4, 20), view.cursor)
        view.note_version(Cursor(4, 30), 9, 10.0)
        self.assertEqual((Cursor(4, 30), 9), (view.cursor, view.version))

    def test_cursor_from_a_peer_is_invalid_in_another_epoch_of_the_store(self):
        view = StoreView(SETTLE_MS)
        view.note_version(Cursor(3, 90), 9, 0.0)
        self.assertTrue(view.note_epoch(4, 10.0))
        self.assertIsNone(view.cursor)

    def test_older_read_sets_the_cursor_only_if_there_is_none(self):
        view = view_at()
        view.note_older_read(Cursor(3, 40), 6, 10.0)
        self.assertEqual((Cursor(3, 50), 7), (view.cursor, view.version))
        fresh = StoreView(SETTLE_MS)
        fresh.note_older_read(Cursor(3, 40), 6, 10.0)
        self.assertEqual(Cursor(3, 40), fresh.cursor)

    def test_cursor_expires(self):
        view = view_at()
        self.assertTrue(view.can_watch(9_000.0))
        self.assertFalse(view.can_watch(11_000.0))
        view.drop_cursor()
        self.assertFalse(view.can_watch(0.0))

    def test_store_that_lost_the_version_in_force_proves_nothing(self):
        view = view_at(epoch=3, version=7)
        self.assertTrue(view.proves(7, 0.0))
        self.assertFalse(view.proves(8, 0.0))
        self.assertFalse(view.proves(6, 0.0))

    def test_restored_store_proves_nothing_until_it_has_settled(self):
        view = view_at()
        view.note_epoch(4, 1_000.0)
        view.note_read(Cursor(4, 20), 7, 1_010.0)
        self.assertFalse(view.proves(7, 1_000.0 + SETTLE_MS - 1.0))
        self.assertTrue(view.proves(7, 1_000.0 + SETTLE_MS))

    def test_first_epoch_is_not_taken_for_a_restore(self):
        self.assertTrue(view_at(epoch=9).proves(7, 0.0))

    def test_node_started_after_a_restore_learns_of_it_from_peers(self):
        view = StoreView(SETTLE_MS)
        view.note_peer_epoch(3)
        view.note_read(Cursor(4, 20), 7, 0.0)
        self.assertFalse(view.proves(7, SETTLE_MS - 1.0))
        late = StoreView(SETTLE_MS)
        late.note_peer_epoch(4)
        late.note_read(Cursor(4, 20), 7, 0.0)
        self.assertTrue(late.proves(7, 0.0))
