"""Translation between berylbank and the users' platform; nothing here decides anything."""
