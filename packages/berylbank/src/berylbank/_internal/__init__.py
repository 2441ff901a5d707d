"""Internal API, shared by the four packages of this workspace, which are released together."""
