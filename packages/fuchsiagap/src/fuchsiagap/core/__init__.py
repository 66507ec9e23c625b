"""Implementation behind the public interface of `fuchsiagap`."""
