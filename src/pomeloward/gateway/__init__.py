"""The composition root: builds, wires, starts and stops the parts."""
