"""The code generator: schema in, C out."""
