"""Why a job was refused, late, failed or lost, from log lines alone."""
