"""Stand-ins for the platform and back ends; not shipped with the product."""
