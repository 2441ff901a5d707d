"""The stores behind the product's own interface, and their HTTP clients."""
