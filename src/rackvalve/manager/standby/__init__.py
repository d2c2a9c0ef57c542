"""Copy of the owner's records that standbys keep, and when one is kept."""
