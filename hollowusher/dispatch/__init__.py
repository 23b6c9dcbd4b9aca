"""Which jobs go where and when: ownership of workers, bundles sized by the integral controller."""
