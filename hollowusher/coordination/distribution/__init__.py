"""Distribution of control values to every process, by version vectors and long polls."""
