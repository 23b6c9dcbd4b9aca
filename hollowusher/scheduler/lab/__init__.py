"""What runs are kept as and compared by: tables, error bars, pages with charts."""
