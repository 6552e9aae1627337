"""Settings: an INI file, checked by a schema, becomes a document.

- `units`: texts with units, and the types of keys.
- `schema`: every section and key, with its type, default and meaning.
- `ini`: from a file to a document, or to everything that is wrong with it.
- `explain`: the schema as text.
- `migration`: the settings of an agent that moves to another deployment.
"""
