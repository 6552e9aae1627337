"""The drill: one process that plays many instances on the line wire of the bench."""
