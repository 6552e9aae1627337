"""Settings of the program: an INI file, checked by a schema, becomes a checked document and plain maps.

units.py: texts with units to whole numbers. schema.py: every section and key, with unit, default and meaning.
ini.py: from a file to a document, or to all that is wrong with it. explain.py: the schema for people.
"""
