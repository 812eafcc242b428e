"""A fleet of the users' size made of real processes, with a judge.

Run it with ``make site``: see README.md beside this file.
"""
