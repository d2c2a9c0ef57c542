"""The entry: takes callers' requests and brings whole answers back."""
