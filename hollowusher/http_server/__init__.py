"""HTTP servers whose connections, memory and descriptors stay within the limits of their process."""
