"""What a VM knows: typed facts of the configuration and of backend servers."""
