"""Typed records of the deployment, the configuration, backend servers and store rows."""
