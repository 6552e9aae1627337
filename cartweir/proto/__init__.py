"""The .proto files that the program speaks, and what protoc made of them (`./dev proto`)."""
