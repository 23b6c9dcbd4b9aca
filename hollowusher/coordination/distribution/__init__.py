"""Distribution of control values to every process by means of version vectors and long polls."""
